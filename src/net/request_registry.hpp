// The commands of all client connections whose responses are not written yet.
#pragma once
#include <cstddef>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ironquay::net {

class ClientRequest;

// Counts the pending commands, and finds open requests by the ids that clients assigned to them. Connections
// own their requests. When a request is finished, the registry takes ownership until release_finished(),
// because functions of the request may still be on the call stack.
class RequestRegistry {
 public:
  RequestRegistry();
  ~RequestRegistry();
  RequestRegistry(const RequestRegistry&) = delete;
  RequestRegistry& operator=(const RequestRegistry&) = delete;

  // The number of commands, including invalid ones, whose response has not been passed to the connection's
  // stream yet.
  std::size_t pending() const { return pending_; }
  void on_enqueued() { ++pending_; }
  // Counts the command as no longer pending, and takes ownership of it until release_finished().
  void finish(std::unique_ptr<ClientRequest> request);
  // Destroys the finished requests. Must not be called from within a function of a request.
  void release_finished();
  bool has_finished() const { return !finished_.empty(); }

  // Makes the request available to find(). The request must own its buffers. Does nothing if a request with
  // this id is registered already.
  void register_id(ClientRequest& request);
  void unregister_id(std::string_view client_request_id) { by_client_id_.erase(client_request_id); }
  // Returns the open request with this id, or null if there is none.
  ClientRequest* find(std::string_view client_request_id) const;

 private:
  std::size_t pending_ = 0;
  std::unordered_map<std::string_view, ClientRequest*> by_client_id_;  // the keys point into the requests
  std::vector<std::unique_ptr<ClientRequest>> finished_;
};

}  // namespace ironquay::net
