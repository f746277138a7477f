/*
 * Part core: what a refusal may claim about whether its request was run.
 */
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief Whether a request may have run at a target.
/// The order is the order of certainty that work was done: a combination of
/// several attempts takes the largest.
enum class Verdict {
    NotRun,     ///< No target ran any part of it.
    MayHaveRun, ///< It cannot be known.
    Ran,        ///< A target ran it.
};

/// \returns the verdict of two attempts taken together.
constexpr Verdict combine(Verdict a, Verdict b)
{
    return std::max(a, b);
}

/// \returns the name used on the wire: not_run, may_have_run or ran.
constexpr std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not_run";
    case Verdict::MayHaveRun:
        return "may_have_run";
    case Verdict::Ran:
        break;
    }
    return "ran";
}

/// \returns the verdict named \p text, or nothing when no verdict has that name.
constexpr std::optional<Verdict> verdictFromString(std::string_view text)
{
    for (const Verdict verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran}) {
        if (toString(verdict) == text) {
            return verdict;
        }
    }
    return std::nullopt;
}

/// \brief A refusal as the caller receives it.
struct Refusal {
    unsigned status = 503; ///< HTTP status code, 400 to 599.
    std::string code;      ///< Stable identifier, for instance deadline_too_short.
    std::string detail;    ///< Names the thing and the place.
    Verdict verdict = Verdict::NotRun;
};

} // namespace magnoliaspan
