/// \brief Example: validates a document, applies it to a VersionStore and finds the route of a
/// request.
///
/// Build it with the project and run `validate_document examples/mesh.json`.

#include "../src/adapters/process/settings_json.hpp"
#include "../src/adapters/version/document_json.hpp"
#include "geraniumpin/geraniumpin.hpp"

#include <iostream>

int
main(int aCount, char** aArguments)
{
  using namespace geraniumpin;

  const std::string path = aCount > 1 ? aArguments[1] : "examples/mesh.json";
  const auto document = EncodeDocument(path, ReadFile(path).value_or(""));
  if (!document) {
    for (const auto& fault : document.error()) {
      std::cerr << ToString(fault) << "\n";
    }
    return 1;
  }

  VersionStore store;
  const Delta delta{ .from_ = {},
                     .to_ = MakeVersionId(document->manifest_),
                     .changed_ = document->parts_,
                     .removed_ = {} };
  const auto snapshot = store.Apply(delta, JsonPartCodec{});
  if (!snapshot) {
    std::cerr << ToString(snapshot.error().refusal_) << "\n";
    return 1;
  }

  const auto decision = DecideRoute(*snapshot,
                                    "",
                                    "GET",
                                    "/arquivo/slab",
                                    Digest::Compute("key-of-clinica"),
                                    ConfigFreshness::Current);
  if (!decision) {
    std::cerr << "refused: " << ToString(decision.error()) << "\n";
    return 1;
  }
  std::cout << "version " << store.CurrentId().number_.document_ << ": route "
            << decision->route_.name_ << " for team " << decision->team_ << "\n";
  return 0;
}
