#include "policy/input_scheduling.hpp"

#include <algorithm>

namespace ironquay {
namespace {

using namespace std::chrono_literals;

// The share of the shortest client timeout that one turn of each connection may take together.
constexpr int kTimeoutDivisor = 16;
// A shorter turn would be spent on system calls.
constexpr Duration kMinTurn = 50us;
// The round if the settings contain a finer clock.
constexpr Duration kMinRound = 1ms;
// The timeout that is assumed if the settings contain no route.
constexpr Duration kDefaultTimeout = 1s;

}  // namespace

InputScheduling::InputScheduling(const PolicySettings& settings, std::size_t max_clients)
    : round_(std::max(settings.tick, kMinRound)) {
  Duration shortest_timeout = settings.routes.empty() ? kDefaultTimeout : Duration::max();
  for (const Route& route : settings.routes)
    shortest_timeout = std::min({shortest_timeout, route.client_timeout, route.latency_objective});
  const auto clients = static_cast<Duration::rep>(std::max<std::size_t>(max_clients, 1));
  turn_ = std::clamp(shortest_timeout / kTimeoutDivisor / clients, kMinTurn, round_);
}

}  // namespace ironquay
