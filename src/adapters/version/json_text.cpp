#include "json_text.hpp"

#include "json_parse.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace geraniumpin {

namespace impl {
namespace {

constexpr std::size_t kMaxFoundLength = 60; // characters of a value quoted in a fault
constexpr std::string_view kSecretField = "/peer_key";
constexpr std::string_view kSeparators = " \t\r\n,:";

/// Counts the characters read, so that the position of the parser is known.
class CountingIterator
{
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* aPosition, std::size_t* aCount)
    : position_(aPosition)
    , count_(aCount)
  {
  }
  reference operator*() const { return *position_; }
  CountingIterator& operator++()
  {
    ++position_;
    ++*count_;
    return *this;
  }
  bool operator==(const CountingIterator& aOther) const { return position_ == aOther.position_; }
  bool operator!=(const CountingIterator& aOther) const { return position_ != aOther.position_; }

private:
  const char* position_;
  std::size_t* count_;
};

std::string
EscapePointer(const std::string& aKey)
{
  std::string escaped;
  for (const char character : aKey) {
    escaped += character == '~' ? "~0" : character == '/' ? "~1" : std::string(1, character);
  }
  return escaped;
}

/// Records the offset of each value during parsing.
class OffsetRecorder : public nlohmann::json_sax<nlohmann::json>
{
public:
  OffsetRecorder(std::string_view aText, const std::size_t& aCount)
    : text_(aText)
    , count_(aCount)
  {
  }

  bool null() override { return Value(); }
  bool boolean(bool /*aValue*/) override { return Value(); }
  bool number_integer(number_integer_t /*aValue*/) override { return Value(); }
  bool number_unsigned(number_unsigned_t /*aValue*/) override { return Value(); }
  bool number_float(number_float_t /*aValue*/, const string_t& /*aText*/) override
  {
    return Value();
  }
  bool string(string_t& /*aValue*/) override { return Value(); }
  bool binary(binary_t& /*aValue*/) override { return Value(); }
  bool start_object(std::size_t /*aSize*/) override { return Open(false); }
  bool start_array(std::size_t /*aSize*/) override { return Open(true); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }
  bool key(string_t& aKey) override
  {
    levels_.back().key_ = aKey;
    previousEnd_ = count_;
    return true;
  }
  bool parse_error(std::size_t aPosition,
                   const std::string& /*aToken*/,
                   const nlohmann::detail::exception& aException) override
  {
    errorOffset_ = aPosition > 0 ? aPosition - 1 : 0;
    error_ = aException.what();
    return false;
  }

  [[nodiscard]] const std::map<std::string, std::size_t>& Offsets() const { return offsets_; }
  [[nodiscard]] const std::string& Error() const { return error_; }
  [[nodiscard]] std::size_t ErrorOffset() const { return errorOffset_; }

private:
  struct Level
  {
    bool isArray_ = false;
    std::size_t index_ = 0;
    std::string key_;
    std::string path_;
  };

  bool Value()
  {
    RecordOffset();
    previousEnd_ = count_;
    return true;
  }
  bool Open(bool aIsArray)
  {
    const auto path = RecordOffset();
    levels_.push_back({ .isArray_ = aIsArray, .path_ = path });
    previousEnd_ = count_;
    return true;
  }
  bool Close()
  {
    levels_.pop_back();
    previousEnd_ = count_;
    return true;
  }
  std::string RecordOffset()
  {
    std::string path;
    if (!levels_.empty()) {
      auto& level = levels_.back();
      path = level.path_ + "/" +
             (level.isArray_ ? std::to_string(level.index_++) : EscapePointer(level.key_));
    }
    const auto start = text_.find_first_not_of(kSeparators, previousEnd_);
    offsets_.emplace(path, std::min(start, text_.size()));
    return path;
  }

  std::string_view text_;
  const std::size_t& count_;
  std::size_t previousEnd_ = 0;
  std::vector<Level> levels_;
  std::map<std::string, std::size_t> offsets_;
  std::string error_;
  std::size_t errorOffset_ = 0;
};

SourcePosition
ComputePosition(std::string_view aText, std::size_t aOffset)
{
  const auto before = aText.substr(0, aOffset);
  const auto lineBreaks = std::count(before.begin(), before.end(), '\n');
  const auto lineStart = before.rfind('\n') + 1; // 0 if there is no line break
  return { .line_ = static_cast<std::size_t>(lineBreaks) + 1, .column_ = aOffset - lineStart + 1 };
}

/// Parses a text to find the offsets of its values and of its first syntax error.
OffsetRecorder
RecordOffsets(std::string_view aText, std::size_t& aCount)
{
  OffsetRecorder recorder(aText, aCount);
  const CountingIterator begin(aText.data(), &aCount);
  const CountingIterator end(aText.data() + aText.size(), &aCount);
  nlohmann::json::sax_parse(begin, end, &recorder);
  return recorder;
}

/// Converts valijson's context, "<root>", "[services]", "[0]", into a JSON pointer.
std::string
MakeJsonPointer(const std::vector<std::string>& aContext)
{
  std::string pointer;
  for (const auto& step : aContext) {
    if (step.size() > 2 && step.front() == '[') {
      pointer += "/" + EscapePointer(step.substr(1, step.size() - 2));
    }
  }
  return pointer;
}

/// Finds the part of a schema that describes the value at a pointer.
const nlohmann::json&
FindSubSchema(const nlohmann::json& aSchema, const std::string& aPointer)
{
  const auto* schema = &aSchema;
  for (auto pointer = nlohmann::json::json_pointer(aPointer); !pointer.empty();) {
    std::vector<std::string> steps;
    for (; !pointer.empty(); pointer.pop_back()) {
      steps.push_back(pointer.back());
    }
    for (auto step = steps.rbegin(); step != steps.rend(); ++step) {
      if (schema->contains("items")) {
        schema = &schema->at("items");
      } else if (schema->contains("properties") && schema->at("properties").contains(*step)) {
        schema = &schema->at("properties").at(*step);
      }
    }
  }
  return *schema;
}

std::string
DescribeExpectation(const nlohmann::json& aSchema)
{
  std::string text = "expected";
  for (const auto* keyword : { "type",
                               "enum",
                               "minimum",
                               "exclusiveMinimum",
                               "maximum",
                               "minLength",
                               "maxLength",
                               "minItems",
                               "pattern",
                               "required" }) {
    if (aSchema.contains(keyword)) {
      text += std::string(" ") + keyword + " " + aSchema.at(keyword).dump();
    }
  }
  return text;
}

/// Returns the name that an "unknown property" error quotes at its end.
std::string
ParseQuotedName(const std::string& aDescription)
{
  const auto end = aDescription.rfind('\'');
  const auto start = aDescription.rfind('\'', end == 0 ? 0 : end - 1);
  if (end == std::string::npos || start == std::string::npos || start >= end) {
    return {};
  }
  return aDescription.substr(start + 1, end - start - 1);
}

} // namespace
} // namespace impl

JsonSchema::JsonSchema(std::string_view aText)
  : root_(nlohmann::json::parse(aText))
{
  const auto parsed = std::make_shared<valijson::Schema>();
  valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(root_), *parsed);
  parsed_ = parsed;
}

tl::expected<JsonText, Faults>
JsonText::Parse(std::string aSource, std::string_view aText)
{
  JsonText result;
  result.source_ = std::move(aSource);
  result.text_ = aText;
  if (IsNestedTooDeep(aText)) {
    return tl::make_unexpected(
      Faults{ { .source_ = result.source_,
                .path_ = "",
                .position_ = {},
                .description_ = "expected fewer nested levels",
                .found_ = "more than " + std::to_string(kMaxJsonDepth) } });
  }
  result.root_ = nlohmann::json::parse(aText, nullptr, false);
  if (!result.root_.is_discarded()) {
    return result;
  }
  std::size_t count = 0;
  const auto recorder = impl::RecordOffsets(result.text_, count);
  return tl::make_unexpected(
    Faults{ { .source_ = result.source_,
              .path_ = "",
              .position_ = impl::ComputePosition(result.text_, recorder.ErrorOffset()),
              .description_ = "not valid JSON: " + recorder.Error(),
              .found_ = "" } });
}

Fault
JsonText::MakeFaultAt(const std::string& aPath, std::string aDescription) const
{
  std::size_t count = 0;
  const auto recorder = impl::RecordOffsets(text_, count);
  const auto offset = recorder.Offsets().find(aPath);
  const auto pointer = nlohmann::json::json_pointer(aPath);
  auto found = root_.contains(pointer) ? root_.at(pointer).dump() : std::string("nothing");
  if (aPath.ends_with(impl::kSecretField)) {
    found = "a redacted value";
  }
  if (found.size() > impl::kMaxFoundLength) {
    found = found.substr(0, impl::kMaxFoundLength) + "...";
  }
  return { .source_ = source_,
           .path_ = aPath,
           .position_ =
             impl::ComputePosition(text_, offset == recorder.Offsets().end() ? 0 : offset->second),
           .description_ = std::move(aDescription),
           .found_ = std::move(found) };
}

Faults
JsonText::Check(const JsonSchema& aSchema) const
{
  valijson::Validator validator;
  valijson::ValidationResults results;
  validator.validate(aSchema.Parsed(), valijson::adapters::NlohmannJsonAdapter(root_), &results);
  Faults faults;
  std::set<std::string> reported;
  for (const auto& error : results) {
    auto path = impl::MakeJsonPointer(error.context);
    const auto& subSchema = impl::FindSubSchema(aSchema.Root(), path);
    std::string expected = impl::DescribeExpectation(subSchema);
    const auto property =
      path + "/" + impl::EscapePointer(impl::ParseQuotedName(error.description));
    const bool isUnknown = error.description.find("additionalProperties") != std::string::npos;
    if (isUnknown && root_.contains(nlohmann::json::json_pointer(property))) {
      path = property;
      expected = "unknown field";
    }
    // A parent reports "failed to validate" once more for each fault below it.
    const bool repeats = std::any_of(reported.begin(), reported.end(), [&](const auto& aOther) {
      return aOther.starts_with(path);
    });
    if (!repeats && reported.insert(path).second) {
      faults.push_back(MakeFaultAt(path, expected));
    }
  }
  return faults;
}

} // namespace geraniumpin
