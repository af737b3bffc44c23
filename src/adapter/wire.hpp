// The bench's wire: lines in, calls on the decisions, lines out. Its names end here.
#pragma once
#include <istream>
#include <ostream>

namespace ironquay::adapter {

// Runs until end of input; 0, or 1 after one plain line on `errors` about the first line that cannot be read.
int run(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace ironquay::adapter
