#include "net/endpoint_discovery.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "net/log.hpp"

namespace ironquay::net {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

// A watch that has received neither an object nor a heartbeat for this time is inactive and may be broken.
// Discovery sends a heartbeat every 2 s, and the timeout is a quarter longer than that interval. The
// deployment platform expects a gateway to know of every change within 6 s, even if the watch that should
// have reported it is broken. The rest of the 6 s is enough for about six attempts to open another watch.
constexpr Duration kWatchIdleTimeout = 2500ms;

// The timing of requests to a local agent. A working agent answers immediately. An agent that has stalled and
// recovered may answer the requests that it received in the meantime. If the agent answers none of them, the
// next request still follows well within the drain period of any worker.
constexpr Duration kAgentResponseTimeout = 200ms;
constexpr Duration kMaxAgentBackoff = 400ms;

// The timing of requests to a shared service. The service queues requests, and answers with an error if it
// does not accept one. Abandoning a request and sending it again would only make the queue longer, so the
// timeout is long. Because the service may also never answer a request, hedged requests are sent before the
// timeout: three requests fit into the 6 s within which the gateway must know of a change.
constexpr Duration kSharedResponseTimeout = 10s;
constexpr Duration kSharedHedgeDelay = 1500ms;
constexpr Duration kMaxSharedBackoff = 2s;
constexpr std::size_t kMaxSharedWatches = 3;

// The mean delay before the first retry. It doubles for each further retry, up to kMaxAgentBackoff or
// kMaxSharedBackoff.
constexpr Duration kInitialBackoff = 100ms;
// The delay before the next attempt if connecting fails immediately, for example for lack of descriptors.
constexpr Duration kSocketRetryDelay = 400ms;
// Gateways that start together, possibly hundreds, spread their first requests to a shared service over this
// time.
constexpr Duration kStartSpread = 500ms;

}  // namespace

EndpointDiscovery::EndpointDiscovery(EventLoop& loop, const Address& address, DiscoveryKind kind,
                                     std::uint32_t seed, Listener& listener)
    : loop_(loop),
      address_(address),
      kind_(kind),
      listener_(listener),
      random_(seed),
      idle_timer_(loop, [this] { on_watch_idle_timeout(); }),
      response_timer_(loop, [this] { on_watch_response_timeout(); }),
      retry_timer_(loop, [this] { open_watch(); }) {}

void EndpointDiscovery::load_cached(const Json& list) {
  if (!list.is_null() && !report_list(list, true)) log("cached endpoint list unreadable");
}

void EndpointDiscovery::start() {
  if (is_local()) return open_watch();
  retry_timer_.expire_after(with_jitter(kStartSpread / 2));
}

void EndpointDiscovery::refresh() {
  version_ = -1;
  close_pending_watches(WatchCloseReason::refreshed);
  if (active_watch_) on_watch_end(*active_watch_, WatchCloseReason::refreshed);
  open_watch();
}

// The full list is requested, because the new server may number its versions differently.
void EndpointDiscovery::set_address(const Address& address) {
  if (same_address(address, address_)) return;
  address_ = address;
  version_ = -1;
  backoff_ = Duration(0);
  close_pending_watches(WatchCloseReason::address_changed);
  open_watch();
}

// Returns a random delay between a quarter and seven quarters of `mean`, so that gateways whose watches end
// at the same time do not reconnect at the same time.
Duration EndpointDiscovery::with_jitter(Duration mean) {
  std::uniform_int_distribution<Duration::rep> range(mean.count() / 4, mean.count() * 7 / 4);
  return Duration(range(random_));
}

void EndpointDiscovery::open_watch() {
  retry_timer_.stop();
  const std::size_t max_pending = is_local() ? 1 : kMaxSharedWatches;
  if (pending_watches_.size() >= max_pending) return;
  FileDescriptor fd = connect_tcp(address_);
  if (!fd) return retry_timer_.expire_after(kSocketRetryDelay);
  DiscoveryWatch::Owner& owner = *this;
  pending_watches_.push_back(
      std::make_unique<DiscoveryWatch>(loop_, address_, std::move(fd), version_, owner));
  response_timer_.expire_after(is_local() ? kAgentResponseTimeout : kSharedHedgeDelay);
}

void EndpointDiscovery::close_pending_watches(WatchCloseReason reason, const DiscoveryWatch* except) {
  response_timer_.stop();
  for (auto& watch : pending_watches_) {
    if (watch.get() == except) continue;
    watch->close(reason, version_);
    loop_.destroy_later(std::move(watch));
  }
  std::erase(pending_watches_, nullptr);
}

void EndpointDiscovery::on_watch_object(DiscoveryWatch& watch, std::string_view text) {
  const std::int64_t version_before = version_;
  const Json list = Json::parse(text, nullptr, false);
  if (!report_list(list, false)) return on_watch_end(watch, WatchCloseReason::malformed_response);
  // The endpoints from a server at the previous address are valid, but the server at the new address may
  // number its versions differently.
  if (!same_address(watch.address(), address_)) version_ = version_before;
  on_watch_event(watch);
}

void EndpointDiscovery::on_watch_heartbeat(DiscoveryWatch& watch) { on_watch_event(watch); }

// Called for each endpoint list and each heartbeat that a watch receives. A pending watch becomes the active
// watch, and all others are closed. If the active watch receives it, the pending ones are closed, unless the
// active watch still uses the previous address.
void EndpointDiscovery::on_watch_event(DiscoveryWatch& watch) {
  if (&watch != active_watch_.get()) {
    activate(watch);
  } else if (same_address(watch.address(), address_)) {
    close_pending_watches(WatchCloseReason::redundant);
    retry_timer_.stop();
  }
  backoff_ = Duration(0);
  idle_timer_.expire_after(kWatchIdleTimeout);
  if (!std::exchange(has_responded_, true)) listener_.on_first_response();
}

void EndpointDiscovery::activate(DiscoveryWatch& watch) {
  if (active_watch_) {
    active_watch_->close(WatchCloseReason::superseded, version_);
    loop_.destroy_later(std::move(active_watch_));
  }
  close_pending_watches(WatchCloseReason::redundant, &watch);
  active_watch_ = std::move(pending_watches_.front());
  pending_watches_.clear();
  retry_timer_.stop();
}

// Reports the entries of a list to the listener. Entries that cannot be parsed are skipped. Returns false if
// the JSON is not an endpoint list.
bool EndpointDiscovery::report_list(const Json& json, bool cached) {
  const std::optional<EndpointList> list = parse_endpoint_list(json);
  if (!list) return false;
  version_ = list->version.value_or(version_);
  const EndpointListKind sent_kind = list->is_full ? EndpointListKind::full : EndpointListKind::delta;
  listener_.on_endpoint_list_begin(cached ? EndpointListKind::cached : sent_kind);
  for (const Json& entry : *list->entries) {
    if (const std::optional<Endpoint> endpoint = parse_endpoint(entry)) listener_.on_endpoint(*endpoint);
  }
  listener_.on_endpoint_list_end();
  return true;
}

void EndpointDiscovery::on_watch_end(DiscoveryWatch& watch, WatchCloseReason reason) {
  watch.close(reason, version_);
  remove_watch(watch);
  if (pending_watches_.empty()) response_timer_.stop();
  const bool local_watch_pending = is_local() && !pending_watches_.empty();
  if (!retry_timer_.is_active() && !local_watch_pending) schedule_retry();
}

void EndpointDiscovery::remove_watch(DiscoveryWatch& watch) {
  const auto pending = std::find_if(pending_watches_.begin(), pending_watches_.end(),
                                    [&](const auto& candidate) { return candidate.get() == &watch; });
  if (pending == pending_watches_.end()) {
    idle_timer_.stop();
    loop_.destroy_later(std::move(active_watch_));
  } else {
    loop_.destroy_later(std::move(*pending));
    pending_watches_.erase(pending);
  }
}

void EndpointDiscovery::schedule_retry() {
  const Duration max_backoff = is_local() ? kMaxAgentBackoff : kMaxSharedBackoff;
  backoff_ = std::clamp<Duration>(2 * backoff_, kInitialBackoff, max_backoff);
  retry_timer_.expire_after(with_jitter(backoff_));
}

// Opens another watch: the active one may be broken, or discovery may be down. The active watch stays open
// and is still read.
void EndpointDiscovery::on_watch_idle_timeout() {
  log("discovery watch inactive addr=%s version=%lld", to_string(active_watch_->address()).c_str(),
      static_cast<long long>(version_));
  open_watch();
}

// Opens another watch, because no pending one has responded in time. Closes the oldest pending watch if it is
// a request to a local agent, or if kSharedResponseTimeout has passed since it was opened.
void EndpointDiscovery::on_watch_response_timeout() {
  DiscoveryWatch& oldest = *pending_watches_.front();
  const bool timed_out = is_local() || loop_.now() - oldest.opened_at() >= kSharedResponseTimeout;
  if (timed_out) on_watch_end(oldest, WatchCloseReason::response_timed_out);
  open_watch();
  if (!pending_watches_.empty() && !response_timer_.is_active())
    response_timer_.expire_after(kSharedHedgeDelay);
}

}  // namespace ironquay::net
