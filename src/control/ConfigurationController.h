/*
 * Accepts or refuses environment documents and holds the one in force.
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

/// Result of offering a document.
enum class OfferResult {
    Accepted, ///< The document is now in force.
    Same,     ///< The document was already in force.
    Older,    ///< Its generation is lower than the one in force.
    Conflict, ///< It has the generation in force but different content.
    Invalid,  ///< Its content is malformed or inconsistent, or it is for another environment.
};

/// \returns the name used in logs.
std::string_view toString(OfferResult result);

/// \brief Accepts documents in the order of their generations, each as a whole or not at all.
/// An accepted document is never replaced by one of a lower or equal generation.
class ConfigurationController
{
public:
    using Listener = std::function<void(const EnvironmentDocument &document)>;

    ConfigurationController(const Clock &clock, Journal &journal, Counters &counters, std::string environment);

    /// \brief Checks the document \p text received from \p source and puts it into force when it is valid and newer.
    OfferResult offer(std::string_view text, std::string_view source);

    /// \returns the document in force, null before the first.
    EnvironmentPtr current() const;

    /// \returns the generation in force, zero before the first.
    std::int64_t generation() const;

    /// \brief Adds a \p listener that is called after each accepted document.
    void onAccepted(Listener listener);

    /// \returns the source that first delivered the document in force, empty before the first.
    const std::string &source() const;

    /// \returns when the document in force was accepted.
    std::optional<TimePoint> acceptedAt() const;

    /// \returns why the most recently refused document was refused, empty when none was.
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
