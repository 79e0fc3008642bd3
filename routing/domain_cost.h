/// @file
/// What it costs to send a request to another failure domain, by the bytes that it moves.
#pragma once

#include "core/instant.h"

#include <cstddef>

namespace hawthornlug {

/// Cost in seconds of the bytes of a request and its answer between two failure domains.
double OtherDomainCost(std::size_t aBytes, Duration aTargetLatency);

/// Cost in seconds of missing the target latency, beside that of the time itself. It exceeds
/// OtherDomainCost() of any size: a request that would otherwise miss its target should go to
/// another domain.
double MissedTargetCost(Duration aTargetLatency);

/// Cost in seconds of not knowing how many requests another domain has sent to its own server.
double UnknownLoadCost(Duration aWork);

/// Whether a request waits for a server of its own domain that will soon have room, although a
/// server of another domain has room now. The costs are in seconds. Most of the time to the target
/// is left as a margin: the other domain must still be able to answer in time if the own one has no
/// room when expected.
bool WaitsForOwnDomain(double aOwnCost,
                       Duration aOwnCompletion,
                       double aOtherCost,
                       Duration aTimeToTarget);

} // namespace hawthornlug
