// Tests of the command line of ironquay-lab: its exit codes and its restriction to loopback addresses.
#include <catch2/catch.hpp>
#include <string>

#include "lab/loopback.hpp"
#include "support.hpp"

namespace ironquay::lab {
namespace {

TEST_CASE("ironquay-lab exits with 0 after a run and with 2 after a usage error or an unreadable scenario") {
  CHECK(lab_exit_code("emulate " + scenario_path("plain") + " --seed 2 --seeds 2") == 0);
  CHECK(lab_exit_code("--help") == 0);
  CHECK(lab_exit_code("") == 2);
  CHECK(lab_exit_code("emulate") == 2);
  CHECK(lab_exit_code("emulate /no/such/file.toml") == 2);
  CHECK(lab_exit_code("emulate " + std::string(IRONQUAY_ROOT) + "/README.md") == 2);
}

TEST_CASE("load and stubs accept loopback addresses only, and invalid arguments end with exit code 2") {
  CHECK_THROWS_WITH(parse_loopback_address("192.0.2.1:80"), "not in 127.0.0.0/8: '192.0.2.1:80'");
  CHECK_THROWS_WITH(parse_loopback_address("127.0.0.1"), "not an address: '127.0.0.1'");
  CHECK(net::to_string(parse_loopback_address("127.9.9.9:5")) == "127.9.9.9:5");
  const std::string file = scenario_path("plain") + " ";
  CHECK(lab_exit_code("load " + file + "--target 10.0.0.1:80") == 2);
  CHECK(lab_exit_code("load " + file + "--target 127.0.0.1:1 --rate 1000000") == 2);
  CHECK(lab_exit_code("stand-in planet " + file) == 2);
  CHECK(lab_exit_code("stand-in counter " + file + "--seconds 0.2") == 0);
  CHECK(lab_exit_code("load " + file + "--target 127.0.0.1:1 --seconds 0.2") == 0);
  const std::string config =
      "config " + file + "--listen 127.0.0.1:1 --discovery 127.0.0.1:2 --counter 127.0.0.1:3";
  CHECK(lab_exit_code(config + " --me 1") == 2);
  CHECK(lab_exit_code(config) == 0);
}

}  // namespace
}  // namespace ironquay::lab
