// Assigns numeric ids to the workers by their names.
#pragma once
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/types.hpp"

namespace ironquay::net {

class WorkerIdMap {
 public:
  // Returns the id of a worker, which is assigned when its name is first seen. The id is a hash of the name,
  // so that all gateways assign the same id, in whatever order they learn the names. If another worker has
  // that id already, the next free number is assigned.
  WorkerId id_of(std::string_view name);
  // Returns the name of a worker; empty if no worker has this id.
  std::string_view name_of(WorkerId id) const;

  // Removes the workers whose ids satisfy the predicate and returns these ids. They can be assigned again.
  template <typename Predicate>
  std::vector<WorkerId> remove_if(Predicate predicate) {
    std::vector<WorkerId> removed;
    std::erase_if(names_, [&](const auto& worker) {
      const auto& [id, name] = worker;
      if (!predicate(id)) return false;
      ids_.erase(name);
      removed.push_back(id);
      return true;
    });
    return removed;
  }

 private:
  std::unordered_map<std::string, WorkerId> ids_;
  std::unordered_map<WorkerId, std::string> names_;
};

}  // namespace ironquay::net
