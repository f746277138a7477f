/*
 * Work for one shard, either a search or a submit, with uniform access to what both have in common.
 */
#pragma once

#include "request/ShardMessages.h"

#include <variant>

namespace magnoliaspan {

/// \brief Work requested from one shard.
using ShardWork = std::variant<ShardSearch, ShardSubmit>;

/// \returns whether \p work may safely run more than once.
bool isIdempotent(const ShardWork &work);

/// \returns the shard that \p work is for.
std::int64_t shardOf(const ShardWork &work);

/// \returns the snapshot that \p work requires, zero if it requires none.
std::int64_t snapshotOf(const ShardWork &work);

/// \returns the system that \p work is for.
const std::string &systemOf(const ShardWork &work);

/// \returns the query or the payload of \p work, which does not depend on the sender.
const std::string &contentOf(const ShardWork &work);

/// \returns the request path at a target, or at another entry host if \p peer.
std::string_view pathOf(const ShardWork &work, bool peer);

/// \returns \p work encoded with \p requestId and \p deadline in place of its own.
std::string encodeAs(ShardWork work, std::string requestId, WallTime deadline);

} // namespace magnoliaspan
