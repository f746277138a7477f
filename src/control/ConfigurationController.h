/*
 * Part control: which environment document is in force.
 */
#pragma once

#include "config/EnvironmentDocument.h"
#include "core/Clock.h"
#include "core/Counters.h"
#include "core/Journal.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspan {

/// What became of an offered document.
enum class OfferResult {
    Accepted, ///< It is in force now.
    Same,     ///< It was in force already.
    Older,    ///< Its generation is lower than the one in force.
    Conflict, ///< It has the generation in force but other content.
    Invalid,  ///< It did not pass the checks.
};

/// \returns the name used in logs.
std::string_view toString(OfferResult result);

/// \brief Accepts documents in the order of their generations, whole or not at all.
/// An accepted document is never replaced by one of a lower or equal generation.
class ConfigurationController
{
public:
    using Listener = std::function<void(const EnvironmentDocument &document)>;

    ConfigurationController(const Clock &clock, Journal &journal, Counters &counters, std::string environment);

    /// \brief Offers the document \p text heard from \p source.
    OfferResult offer(std::string_view text, std::string_view source);

    /// \returns the document in force, null before the first.
    EnvironmentPtr current() const;

    /// \returns the generation in force, zero before the first.
    std::int64_t generation() const;

    /// \brief Calls \p listener after each acceptance.
    void onAccepted(Listener listener);

    /// \returns where the document in force was heard first.
    const std::string &source() const;

    /// \returns when the document in force was accepted.
    std::optional<TimePoint> acceptedAt() const;

    /// \returns why the last refused document was refused, empty when none was.
    const std::string &lastRefusalReason() const;

private:
    OfferResult refuse(OfferResult result, std::string_view source, std::string reason);

    const Clock &clock_;
    Journal &journal_;
    Counters &counters_;
    std::string environment_;
    EnvironmentPtr current_; // Invariant: its generation never decreases.
    std::string source_;
    std::optional<TimePoint> acceptedAt_;
    std::string lastRefusalReason_;
    std::string lastRefusedDigest_; // A refused document that is offered again is not logged again.
    std::vector<Listener> listeners_;
};

} // namespace magnoliaspan
