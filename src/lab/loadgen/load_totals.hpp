// Request counts and latencies that the load generator measures.
#pragma once
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace ironquay::lab {

// How a request of the load generator ended.
enum class LoadRequestOutcome {
  served,
  rejected,  // the gateway answered `-BUSY`
  failed,    // the gateway answered anything else
  lost,      // no connection was available, the connection ended, or the client timed out
};

// Counts and latencies of the requests of one route or plan.
class LoadTotals {
 public:
  void on_request() { ++requests_; }
  // `latency_ms` is recorded only for served requests.
  void on_request_end(LoadRequestOutcome outcome, double latency_ms = 0);
  LoadTotals& operator+=(const LoadTotals& other);
  // The counts, and quantiles of the latencies in milliseconds.
  nlohmann::ordered_json to_json() const;

 private:
  std::uint64_t requests_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t rejected_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t lost_ = 0;
  std::vector<double> latencies_ms_;
};

}  // namespace ironquay::lab
