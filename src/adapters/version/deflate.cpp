#include "deflate.hpp"

#include <algorithm>
#include <stdexcept>
#include <zlib.h>

namespace geraniumpin {

namespace impl {
namespace {

constexpr char kZlibHeader = 0x78;          // deflate with a window of 32 KB
constexpr std::size_t kInflateStep = 65536; // bytes by which the result grows

/// Owns a zlib stream and frees it on every return path.
class InflateStream
{
public:
  InflateStream() { ready_ = inflateInit(&stream_) == Z_OK; }
  ~InflateStream() { inflateEnd(&stream_); }
  InflateStream(const InflateStream&) = delete;
  InflateStream& operator=(const InflateStream&) = delete;

  [[nodiscard]] bool Ready() const noexcept { return ready_; }
  [[nodiscard]] z_stream& Get() noexcept { return stream_; }

private:
  z_stream stream_{};
  bool ready_ = false;
};

} // namespace
} // namespace impl

std::string
Deflate(std::string_view aBytes)
{
  auto length = compressBound(aBytes.size());
  std::string deflated(length, '\0');
  const int result = compress2(reinterpret_cast<Bytef*>(deflated.data()),
                               &length,
                               reinterpret_cast<const Bytef*>(aBytes.data()),
                               aBytes.size(),
                               Z_BEST_SPEED);
  if (result != Z_OK) {
    throw std::runtime_error("zlib failed to compress " + std::to_string(aBytes.size()) + " bytes");
  }
  deflated.resize(length);
  return deflated;
}

bool
IsDeflated(std::string_view aBytes) noexcept
{
  return !aBytes.empty() && aBytes.front() == impl::kZlibHeader;
}

std::optional<std::string>
Inflate(std::string_view aBytes, std::size_t aMaxBytes)
{
  impl::InflateStream stream;
  if (!stream.Ready()) {
    return std::nullopt;
  }
  auto& state = stream.Get();
  state.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(aBytes.data()));
  state.avail_in = static_cast<uInt>(aBytes.size());
  std::string inflated;
  while (true) {
    const auto done = inflated.size();
    inflated.resize(std::min(aMaxBytes + 1, done + impl::kInflateStep));
    state.next_out = reinterpret_cast<Bytef*>(inflated.data() + done);
    state.avail_out = static_cast<uInt>(inflated.size() - done);
    const int result = inflate(&state, Z_NO_FLUSH);
    inflated.resize(inflated.size() - state.avail_out);
    if (inflated.size() > aMaxBytes) {
      return std::nullopt;
    }
    if (result == Z_STREAM_END) {
      return inflated;
    }
    const bool madeNoProgress = inflated.size() == done;
    if (result != Z_OK || madeNoProgress) {
      return std::nullopt;
    }
  }
}

} // namespace geraniumpin
