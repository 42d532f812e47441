#include "geraniumpin/version/fault.hpp"

namespace geraniumpin {

std::string
ToString(const Fault& aFault)
{
  std::string text = aFault.source_;
  if (aFault.position_.line_ > 0) {
    text += ":" + std::to_string(aFault.position_.line_);
    text += ":" + std::to_string(aFault.position_.column_);
  }
  text += ": " + (aFault.path_.empty() ? std::string("/") : aFault.path_);
  text += ": " + aFault.description_;
  if (!aFault.found_.empty()) {
    text += ", found " + aFault.found_;
  }
  return text;
}

} // namespace geraniumpin
