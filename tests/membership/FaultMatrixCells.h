#pragma once

#include <array>
#include <string_view>

#include <stairspur/core/EnumNames.h>

/// The rows and columns of the fault matrix.
namespace stairspur::membership {

enum class Fault {
    None,
    Kill,
    KillWithLateDuplicates, ///< Datagrams of the killed node keep arriving.
    PauseShort,
    PauseLong,
    CutPairOneWay,
    CutPairBothWays,
    CutOneWay, ///< No datagram of the subject arrives.
    CutBothWays,
    Slow,
    Duplicate,
    Reorder,
    Loss5,
    Loss20,
    Restart,
    RestartWithClockBehind,
    Split, ///< The domain is split into two halves.
    SplitDomains,
};

enum class Step {
    Announce,
    Join,
    Probe,
    IndirectProbe,
    Suspect,
    ForeignClaim, ///< A node of another domain claims that a member is suspect.
    Refute,
    RelayExchange,
    Drain,
    Leave,
};

} // namespace stairspur::membership

template <>
inline constexpr auto stairspur::enumNames<stairspur::membership::Fault> =
        std::array<std::string_view, 18>{"none",
                                         "kill",
                                         "kill-late-duplicates",
                                         "pause-short",
                                         "pause-long",
                                         "cut-pair-one-way",
                                         "cut-pair-both-ways",
                                         "cut-one-way",
                                         "cut-both-ways",
                                         "slow",
                                         "duplicate",
                                         "reorder",
                                         "loss-5",
                                         "loss-20",
                                         "restart",
                                         "restart-clock-behind",
                                         "split",
                                         "split-domains"};

template <>
inline constexpr auto stairspur::enumNames<stairspur::membership::Step> =
        std::array<std::string_view, 10>{"announce", "join",          "probe",  "indirect-probe",
                                         "suspect",  "foreign-claim", "refute", "relay-exchange",
                                         "drain",    "leave"};
