// A gateway's local part of one customer's quota.
//
// A slice is a token bucket: units flow in at a fixed rate, up to the slice's part of the burst. The
// gateway's share of the quota is split in two. The part `pooled_share` flows into the customer's pool on the
// counter service, from which all of the customer's gateways take units. The rest flows into the slice.
#pragma once
#include "policy/settings.hpp"

namespace ironquay {

// The time constant of the demand measurement. With a shorter one, single requests change the result; with a
// longer one, the result still includes demand that has already moved to another gateway.
constexpr Duration kQuotaDemandWindow = std::chrono::seconds(4);

struct QuotaSlice {
  std::size_t plan = 0;      // index into PolicySettings::plans
  int first_gateway = 0;     // index of the first of the customer's gateways, which have consecutive indices
  double gateway_share = 1;  // this gateway's share of the quota: 1 / number of the customer's gateways
  double rate = 0;  // units per second: this gateway's share of the plan's rate, including the pooled part
  double pooled_share = 0;        // share of the quota that flows into the pool, from 0 to 1
  double tokens = 0;              // units available to requests; may be negative
  double demand_rate = 0;         // units per second requested, averaged over about kQuotaDemandWindow
  double peak_request_units = 0;  // units of the largest recent request; decays towards the current size
  double uncounted_units = 0;  // units admitted without a call to the counter since the last successful take
  Duration earliest_take{0};   // time before which no units are taken, because the pool holds too few
  double ceiling_tokens = 0;   // units that may still be forwarded under the plan's hard ceiling
  int attempts_in_flight = 0;  // the customer's attempts in flight from this gateway
  Duration refilled_at{0};     // when QuotaSlices::refill() last ran
  Duration last_used_at{0};    // when QuotaSlices::find_or_create() last returned the slice
};

}  // namespace ironquay
