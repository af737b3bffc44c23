// Clients that connect and say nothing.
#pragma once
#include "harness.hpp"

namespace review {

struct CrowdPlan {
  int clients = 0;
  Milliseconds arrives_after{0};
  Milliseconds notices_end_within{0};  // a client closes this long after the gateway has ended its connection
  Milliseconds stays{0};               // a client closes after this time in any case
};

// Connects the crowd after its time and returns when all have closed.
inline void play_crowd(const Address& gateway, const CrowdPlan& plan, Record& record) {
  std::this_thread::sleep_for(plan.arrives_after);
  std::vector<Socket> crowd;
  for (int i = 0; i < plan.clients; ++i) crowd.push_back(connect_to(gateway));
  record.line("crowd: %d clients have connected", plan.clients);
  const auto leaves_at = Clock::now() + plan.stays;
  while (!crowd.empty() && Clock::now() < leaves_at) {
    std::this_thread::sleep_for(plan.notices_end_within);
    std::vector<Socket> open;
    for (Socket& client : crowd) {
      pollfd state{client.fd(), POLLIN | POLLRDHUP, 0};
      if (poll(&state, 1, 0) == 0) open.push_back(std::move(client));
    }
    crowd = std::move(open);
  }
  record.line("crowd: all have closed");
}

}  // namespace review
