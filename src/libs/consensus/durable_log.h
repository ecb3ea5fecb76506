// Stores the output of a replica in its write-ahead log.
#pragma once

#include "consensus/replica.h"
#include "storage/wal.h"

namespace mangoroad::consensus {

/// Writes what the output asks for, in the order that keeps the log readable after a crash at any
/// point, and leaves the sync to the caller. On an error the caller must call
/// Replica::OnStorageFailed, and must not send messages that wait for this output.
storage::StorageResult<base::Done> WriteOutput(storage::Wal& wal, const Output& output);
/// Like WriteOutput, and syncs when `output.sync_id` isn't 0.
storage::StorageResult<base::Done> StoreOutput(storage::Wal& wal, const Output& output);

/// Moves the recovered state out of an opened log; only `wal` remains in it.
RestoredState TakeRestoredState(storage::OpenedWal& opened);

}  // namespace mangoroad::consensus
