/*
 * Precedence of updates on one host.
 */
#include "membership/Member.h"

#include <tuple>

namespace magnoliaspan {

std::string_view toString(HostState state)
{
    switch (state) {
    case HostState::Alive:
        return "alive";
    case HostState::Suspect:
        return "suspect";
    case HostState::Gone:
        return "gone";
    case HostState::Left:
        break;
    }
    return "left";
}

bool supersedes(const Member &update, const Member &known)
{
    return std::tie(update.incarnation, update.state) > std::tie(known.incarnation, known.state);
}

} // namespace magnoliaspan
