#include <iostream>

#include "wire.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return ironquay::adapter::run(std::cin, std::cout, std::cerr);
}
