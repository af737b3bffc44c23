// The test program that known_red.cmake runs: two tests that fail on purpose and one that passes. The comma
// and the colon in the first name are part of what is tested.
#include <catch2/catch.hpp>

TEST_CASE("one, that is: red") { CHECK(1 == 2); }
TEST_CASE("another red") { FAIL("fails on purpose"); }
TEST_CASE("green") { CHECK(1 == 1); }
