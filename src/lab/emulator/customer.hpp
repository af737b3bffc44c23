// The customers of an emulation: their quotas, their demand and the gateways that they use.
#pragma once
#include <string>
#include <vector>

#include "lab/emulator/token_bucket.hpp"
#include "lab/random_stream.hpp"
#include "lab/scenario/scenario.hpp"

namespace ironquay::lab {

struct Customer {
  std::string name;
  std::size_t plan = 0;  // index into Scenario::plans and PolicySettings::plans
  // The customer uses `gateway_spread` consecutively numbered gateways, starting with `first_gateway` and
  // wrapping around after the last gateway.
  int first_gateway = 0;
  int gateway_spread = 1;
  // Offset, from `first_gateway`, of the gateway that currently receives most of the customer's requests if
  // the scenario distributes them unevenly.
  int preferred_offset = 0;
  double request_rate = 0;       // requests per second, outside of bursts
  bool is_heavy = false;         // whether its demand is that of a heavy customer of the plan
  TokenBucket requested_bucket;  // decides which new requests the quota covers
  TokenBucket forwarded_bucket;  // decides which forwarded requests the quota covers
  double units_requested = 0;    // units of all requests; client retries are not counted
  double units_forwarded = 0;    // units of the requests that gateways forwarded to a worker
};

// Creates the customers of all plans, plan by plan. Draws the gateways of each customer, and whether it is
// heavy, from `random`.
std::vector<Customer> make_customers(const Scenario& scenario, RandomStream& random);

}  // namespace ironquay::lab
