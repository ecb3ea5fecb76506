// Errors of the storage layer.
#pragma once

#include "base/name_table.h"
#include "base/result.h"

namespace mangoroad::storage {

enum class StorageErrorKind {
  kNotFound,  ///< The file or folder doesn't exist.
  kNoSpace,   ///< The disk is full; the write was undone and may be tried again.
  kIo,        ///< The operating system reported another error.
  kDamaged,   ///< A checksum or a structure is wrong; the message names file and offset.
  kFormat,    ///< The file was written by an unknown format version.
  kFailed,    ///< An earlier sync failed, and the log hasn't been recovered since.
  kInvalid,   ///< The arguments contradict what is stored.
};

inline constexpr base::NameTable<StorageErrorKind, 7> kStorageErrorNames{{
    {StorageErrorKind::kNotFound, "not-found"},
    {StorageErrorKind::kNoSpace, "no-space"},
    {StorageErrorKind::kIo, "io"},
    {StorageErrorKind::kDamaged, "damaged"},
    {StorageErrorKind::kFormat, "format"},
    {StorageErrorKind::kFailed, "failed"},
    {StorageErrorKind::kInvalid, "invalid"},
}};

using StorageError = base::BasicError<StorageErrorKind>;

template <typename Value>
using StorageResult = base::Result<Value, StorageError>;

}  // namespace mangoroad::storage

/// Returns the error of `expression` from the calling function when it failed.
#define MANGOROAD_RETURN_IF_FAILED(expression)            \
  do {                                                    \
    auto outcome_of_step = (expression);                  \
    if (!::mangoroad::base::Ok(outcome_of_step))          \
      return ::mangoroad::base::ErrorOf(outcome_of_step); \
  } while (false)
