/*
 * Access to the common fields of the two kinds of shard work.
 */
#include "request/ShardWork.h"

namespace magnoliaspan {

namespace {

template <typename... Visitors>
struct Overloaded : Visitors... {
    using Visitors::operator()...;
};

template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace

bool isIdempotent(const ShardWork &work)
{
    return std::holds_alternative<ShardSearch>(work);
}

std::int64_t shardOf(const ShardWork &work)
{
    return std::visit([](const auto &message) { return message.shard; }, work);
}

std::int64_t snapshotOf(const ShardWork &work)
{
    const auto *search = std::get_if<ShardSearch>(&work);
    return search == nullptr ? 0 : search->snapshot;
}

const std::string &systemOf(const ShardWork &work)
{
    return std::visit([](const auto &message) -> const std::string & { return message.system; }, work);
}

const std::string &contentOf(const ShardWork &work)
{
    return std::visit(Overloaded{[](const ShardSearch &search) -> const std::string & { return search.query; },
                                 [](const ShardSubmit &submit) -> const std::string & { return submit.payload; }},
                      work);
}

std::string_view pathOf(const ShardWork &work, bool peer)
{
    if (isIdempotent(work)) {
        return peer ? "/peer/shard-search" : "/v1/shard-search";
    }
    return peer ? "/peer/shard-submit" : "/v1/shard-submit";
}

std::string encodeAs(ShardWork work, std::string requestId, WallTime deadline)
{
    return std::visit(
        [&requestId, deadline](auto &message) {
            message.requestId = std::move(requestId);
            message.deadline = deadline;
            return encode(message);
        },
        work);
}

} // namespace magnoliaspan
