// The identity of a replica of the log, bound to its disk.
//
// A replica that lost its disk has lost its votes. It must not count as the same voter again, so it
// gets a new identity: its address and a random suffix. Only replicas of the first start, whose
// disks have never been used, are identified by the address alone.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "consensus/configuration.h"
#include "entry/entry_error.h"
#include "storage/file_system.h"

namespace mangoroad::controller {

struct Identity {
  consensus::ReplicaId id;
  /// The voters of the first start, valid until the log contains a configuration. They are stored
  /// because the settings may name other VMs when all replicas restart.
  std::vector<consensus::ReplicaId> first_voters;
};

/// Loads the identity stored in `folder`. When there is none, a new one is stored durably first: at
/// the first start `address` with `first_voters`, later a new identity that isn't a voter.
base::Result<Identity, entry::EntryError> LoadIdentity(
    storage::FileSystem& files, const std::string& folder, const std::string& address,
    bool is_first_start, const std::vector<consensus::ReplicaId>& first_voters,
    std::uint64_t random_bits);

/// `ip:port` of a replica.
std::string AddressOf(const consensus::ReplicaId& id);
/// `ip` of a replica or of an `ip:port`.
std::string IpOf(std::string_view address);

}  // namespace mangoroad::controller
