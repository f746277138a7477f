/*
 * Part request: work for one shard, whether a search or a submit.
 */
#pragma once

#include "request/ShardMessages.h"

#include <variant>

namespace magnoliaspan {

/// \brief What one shard is asked to do.
using ShardWork = std::variant<ShardSearch, ShardSubmit>;

/// \returns whether running \p work twice does no harm.
bool isIdempotent(const ShardWork &work);

/// \returns the shard that \p work is for.
std::int64_t shardOf(const ShardWork &work);

/// \returns the snapshot that \p work names, zero when it names none.
std::int64_t snapshotOf(const ShardWork &work);

/// \returns the system that \p work is for.
const std::string &systemOf(const ShardWork &work);

/// \returns what \p work asks, whoever sends it.
const std::string &contentOf(const ShardWork &work);

/// \returns the path at a target, or at another entry host when \p peer.
std::string_view pathOf(const ShardWork &work, bool peer);

/// \returns the body with \p requestId and \p deadline in place of the work's own.
std::string encodeAs(ShardWork work, std::string requestId, WallTime deadline);

} // namespace magnoliaspan
