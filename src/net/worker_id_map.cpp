#include "net/worker_id_map.hpp"

#include "policy/fnv1a.hpp"

namespace ironquay::net {

WorkerId WorkerIdMap::id_of(std::string_view name) {
  const auto found = ids_.find(std::string(name));
  if (found != ids_.end()) return found->second;
  WorkerId id = fnv1a_32(name);
  while (names_.contains(id)) ++id;
  names_.emplace(id, name);
  ids_.emplace(name, id);
  return id;
}

std::string_view WorkerIdMap::name_of(WorkerId id) const {
  const auto found = names_.find(id);
  return found == names_.end() ? std::string_view() : std::string_view(found->second);
}

}  // namespace ironquay::net
