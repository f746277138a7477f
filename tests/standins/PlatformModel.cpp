/*
 * Long-polling and fault modes of the platform stand-in.
 */
#include "standins/PlatformModel.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace magnoliaspan::testing {

namespace {

constexpr Duration slowResponseDelay = std::chrono::seconds(20);

std::int64_t queryParameter(const std::string &target, const std::string &name, std::int64_t defaultValue)
{
    const auto found = target.find(name + "=");
    return found == std::string::npos ? defaultValue : std::stoll(target.substr(found + name.size() + 1));
}

} // namespace

PlatformModel::PlatformModel(const Clock &clock, Scheduler &scheduler)
    : clock_(clock)
    , scheduler_(scheduler)
    , memberships_(1, Published{1, "[]"})
{
}

Service::CancelFunction PlatformModel::handle(ServiceRequest request, ReplyHandler handler)
{
    ++calls_;
    const bool forDocument = request.target.starts_with("/v1/document");
    if (mode_ == "down" || (forDocument && documents_.empty())) {
        handler({503, "application/json", "{}", true});
        return {};
    }
    const std::int64_t after = queryParameter(request.target, "after", -1);
    const std::int64_t wait = queryParameter(request.target, "wait_ms", 0);
    const Published &newest = forDocument ? document() : membership();
    Watch watch{forDocument, after, std::move(handler)};
    if (mode_ == "slow") {
        scheduler_.callAt(clock_.now() + slowResponseDelay, [this, watch] { respond(watch); });
        return {};
    }
    if (newest.revision != after || wait == 0) {
        respond(watch);
        return {};
    }
    const std::uint64_t number = ++lastWatch_;
    watches_.emplace(number, std::move(watch));
    scheduler_.callAt(clock_.now() + std::chrono::milliseconds(wait), [this, number] {
        const auto found = watches_.extract(number);
        if (!found.empty()) {
            respond(found.mapped());
        }
    });
    return [this, number] { watches_.erase(number); };
}

const PlatformModel::Published &PlatformModel::document() const
{
    if (mode_ == "past") {
        return documents_.front();
    }
    return mode_ == "stale" ? documents_.at(staleDocuments_ - 1) : documents_.back();
}

const PlatformModel::Published &PlatformModel::membership() const
{
    return mode_ == "stale" ? memberships_.at(staleMemberships_ - 1) : memberships_.back();
}

void PlatformModel::respond(const Watch &watch)
{
    const Published &newest = watch.document ? document() : membership();
    const bool changed = newest.revision != watch.after;
    watch.handler({200, "application/json", body(newest, watch.document, changed), true});
}

std::string PlatformModel::body(const Published &published, bool forDocument, bool changed) const
{
    nlohmann::json json = {{"revision", published.revision}, {"changed", changed}};
    if (forDocument) {
        json["text"] = published.text;
    } else {
        json["members"] = nlohmann::json::parse(published.text);
    }
    return json.dump();
}

void PlatformModel::publish(std::string text)
{
    documents_.push_back({documents_.empty() ? 1 : documents_.back().revision + 1, std::move(text)});
    notifyWatches();
}

void PlatformModel::setTargetLeaving(const std::string &target, bool leaving)
{
    leaving_[target] = leaving;
    memberships_.push_back({memberships_.back().revision + 1, membersJson()});
    notifyWatches();
}

std::string PlatformModel::membersJson() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const auto &[name, isLeaving] : leaving_) {
        members.push_back({{"target", name}, {"state", isLeaving ? "leaving" : "live"}});
    }
    return members.dump();
}

void PlatformModel::notifyWatches()
{
    if (mode_ != "up") {
        return;
    }
    for (auto it = watches_.begin(); it != watches_.end();) {
        const Published &newest = it->second.document ? document() : membership();
        if (newest.revision == it->second.after) {
            ++it;
            continue;
        }
        const Watch watch = std::move(it->second);
        it = watches_.erase(it);
        respond(watch);
    }
}

bool PlatformModel::setMode(const std::string &mode)
{
    if (mode != "up" && mode != "down" && mode != "stale" && mode != "past" && mode != "slow") {
        return false;
    }
    mode_ = mode;
    staleDocuments_ = documents_.size();
    staleMemberships_ = memberships_.size();
    if (mode == "down") {
        const auto watches = std::move(watches_);
        watches_.clear();
        for (const auto &[number, watch] : watches) {
            watch.handler({503, "application/json", "{}", true});
        }
    }
    notifyWatches();
    return true;
}

unsigned PlatformModel::calls() const
{
    return calls_;
}

} // namespace magnoliaspan::testing
