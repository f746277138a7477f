/*
 * Services of the host that replicas and requests use.
 */
#pragma once

#include "core/Clock.h"
#include "core/Counters.h"
#include "core/Journal.h"
#include "core/Scheduler.h"
#include "forward/CrashGuard.h"
#include "forward/ForwardCodec.h"
#include "forward/RequestHandoff.h"
#include "forward/TargetContact.h"
#include "transport/Transport.h"

#include <cstdint>

namespace magnoliaspan {

/// \brief References that outlive every replica and request.
struct ForwardEnvironment {
    const Clock &clock;
    Scheduler &scheduler;
    Transport &transport;
    Journal &journal;
    Counters &counters;
    const ForwardCodec &codec;
    CrashGuard &crashGuard;
    TargetContact &contact;
    RequestHandoff &handoff;
    std::uint64_t seed = 0; ///< Seeds random choices that must differ between hosts.
};

} // namespace magnoliaspan
