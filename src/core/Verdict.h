/*
 * Verdict of a refusal: whether a target may have run the request.
 */
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// \brief Whether a request may have run at a target.
/// Ordered by increasing certainty that the request ran; the verdict of several
/// attempts is the largest of theirs.
enum class Verdict {
    NotRun,     ///< No target ran any part of the request.
    MayHaveRun, ///< A target may have run it; the outcome is unknown.
    Ran,        ///< A target ran it.
};

/// \returns the combined verdict of two attempts.
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

/// \returns the verdict named \p text, or nothing if there is none.
constexpr std::optional<Verdict> verdictFromString(std::string_view text)
{
    for (const Verdict verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran}) {
        if (toString(verdict) == text) {
            return verdict;
        }
    }
    return std::nullopt;
}

/// \brief Refusal of a request, as sent to the caller.
struct Refusal {
    unsigned status = 503; ///< HTTP status code, 400 to 599.
    std::string code;      ///< Stable identifier, for instance deadline_too_short.
    std::string detail;    ///< Free text: which item failed and where.
    Verdict verdict = Verdict::NotRun;
};

} // namespace magnoliaspan
