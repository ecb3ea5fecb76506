#include "consensus/durable_log.h"

#include <utility>

namespace mangoroad::consensus {

storage::StorageResult<base::Done> WriteOutput(storage::Wal& wal, const Output& output) {
  if (output.snapshot_to_sync) {
    MANGOROAD_RETURN_IF_FAILED(wal.SaveSnapshot(*output.snapshot_to_sync));
  }
  if (output.truncate_after) MANGOROAD_RETURN_IF_FAILED(wal.Truncate(*output.truncate_after));
  if (output.hard_state) MANGOROAD_RETURN_IF_FAILED(wal.SaveHardState(*output.hard_state));
  if (!output.entries_to_sync.empty()) {
    MANGOROAD_RETURN_IF_FAILED(wal.Append(output.entries_to_sync));
  }
  return base::Done{};
}

storage::StorageResult<base::Done> StoreOutput(storage::Wal& wal, const Output& output) {
  MANGOROAD_RETURN_IF_FAILED(WriteOutput(wal, output));
  if (output.sync_id == 0) return base::Done{};
  return wal.Sync();
}

RestoredState TakeRestoredState(storage::OpenedWal& opened) {
  return {std::move(opened.hard_state), std::move(opened.snapshot), std::move(opened.entries)};
}

}  // namespace mangoroad::consensus
