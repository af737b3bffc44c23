#include "net/request_registry.hpp"

#include "net/client_request.hpp"

namespace ironquay::net {

RequestRegistry::RequestRegistry() = default;
RequestRegistry::~RequestRegistry() = default;

void RequestRegistry::finish(std::unique_ptr<ClientRequest> request) {
  --pending_;
  finished_.push_back(std::move(request));
}

void RequestRegistry::release_finished() { finished_.clear(); }

void RequestRegistry::register_id(ClientRequest& request) {
  by_client_id_.emplace(request.request.client_request_id, &request);
}

ClientRequest* RequestRegistry::find(std::string_view client_request_id) const {
  const auto found = by_client_id_.find(client_request_id);
  return found == by_client_id_.end() ? nullptr : found->second;
}

}  // namespace ironquay::net
