#include "net/timer.hpp"

#include <utility>

namespace ironquay::net {

void Timer::expire_at(Duration when) {
  expires_at_ = when;
  if (heap_index_ == kNotInHeap) {
    loop_.timers_.push_back(this);
    heap_index_ = loop_.timers_.size() - 1;
  }
  loop_.restore_heap(heap_index_);
}

void Timer::stop() {
  if (heap_index_ == kNotInHeap) return;
  const std::size_t vacated_index = std::exchange(heap_index_, kNotInHeap);
  Timer* last = loop_.timers_.back();
  loop_.timers_.pop_back();
  if (last == this) return;
  loop_.place_in_heap(vacated_index, last);
  loop_.restore_heap(vacated_index);
}

}  // namespace ironquay::net
