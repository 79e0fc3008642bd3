/// @file
/// How differently daemons that know the same choose among servers.
#pragma once

namespace hawthornlug {

/// Greatest extra cost of a server that a daemon does not prefer, as a multiple of the expected
/// completion, while @p aTaken of the @p aSlots slots of a service are taken.
///
/// What daemons know of each other's requests is as old as a report, in which time about as many
/// requests arrive as are running. If all daemons chose the fastest server that was free then,
/// these requests would queue there while slots stay free elsewhere. The mean extra cost equals the
/// number of running requests for each free slot: with few requests the fastest servers are
/// chosen, with many each daemon keeps to servers of its own.
double ChoiceSpread(unsigned aTaken, unsigned aSlots);

} // namespace hawthornlug
