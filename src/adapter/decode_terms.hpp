// Reads the settings object of the wire's START into Terms.
#pragma once
#include <map>
#include <string>

#include "terms.hpp"

namespace ironquay::adapter {

struct Born {
  Terms terms;
  std::map<std::string, std::size_t, std::less<>> routes;  // by name
  std::map<std::string, std::size_t, std::less<>> plans;
  std::size_t report_fields = 0;
};

// Throws std::runtime_error naming the key that is missing or unreadable.
Born decode_terms(const std::string& text);

}  // namespace ironquay::adapter
