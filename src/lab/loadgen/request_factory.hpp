// Draws the requests that the load generator sends, and encodes them as RESP commands.
#pragma once
#include <cstdint>
#include <string>

#include "lab/random_stream.hpp"
#include "lab/scenario/scenario.hpp"
#include "policy/types.hpp"

namespace ironquay::lab {

struct LoadRequest {
  std::size_t route = 0;          // index into Scenario::routes
  std::size_t plan = 0;           // index into Scenario::plans
  std::size_t gateway_index = 0;  // index of the gateway that the request is sent to
  std::size_t customer = 0;       // number of the customer, unique over all plans
  std::size_t units = 0;
  std::uint64_t sequence_number = 0;  // from 1, in the order of creation
};

class RequestFactory {
 public:
  // `gateway_count` is the number of gateways. `scenario` must outlive this object.
  RequestFactory(const Scenario& scenario, std::uint32_t seed, std::size_t gateway_count)
      : scenario_(scenario), seed_(seed), gateway_count_(gateway_count), random_(seed, "load") {}

  // Draws the time until the next request. `rate` is in requests per second; the arrivals are a Poisson
  // process.
  Duration next_interval(double rate);
  // Draws the next request.
  LoadRequest next_request();
  // Encodes the request as a RESP command. `remaining_time` is the time until the client times out.
  std::string encode(const LoadRequest& request, Duration remaining_time) const;

 private:
  const Scenario& scenario_;
  std::uint32_t seed_;
  std::size_t gateway_count_;
  RandomStream random_;
  std::uint64_t last_sequence_number_ = 0;
};

}  // namespace ironquay::lab
