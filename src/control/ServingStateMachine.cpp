/*
 * Transition table of the stages of the process, in Boost.MSM.
 */
#include "control/ServingStateMachine.h"

#include <array>
#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace magnoliaspan {

namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

template <ServingEvent>
struct On {
};

template <ServingStage>
struct In : msm::front::state<> {
};

// NOLINTBEGIN(readability-identifier-naming): names fixed by Boost.MSM
struct Table : msm::front::state_machine_def<Table> {
    using E = ServingEvent;
    using Starting = In<ServingStage::Starting>;
    using Serving = In<ServingStage::Serving>;
    using Announcing = In<ServingStage::Announcing>;
    using Draining = In<ServingStage::Draining>;
    using Stopped = In<ServingStage::Stopped>;
    using initial_state = Starting;

    template <typename From, E Event, typename To>
    using Step = Row<From, On<Event>, To, none, none>;

    // clang-format off
    struct transition_table : mpl::vector<
        Step<Starting,   E::ConfigurationAccepted, Serving>,
        Step<Starting,   E::StopRequested,         Stopped>,
        Step<Serving,    E::StopRequested,         Announcing>,
        Step<Announcing, E::AnnouncementElapsed,   Draining>,
        Step<Announcing, E::StopRequested,         Draining>,
        Step<Announcing, E::ShutdownLimitReached,  Stopped>,
        Step<Draining,   E::LastRequestCompleted,  Stopped>,
        Step<Draining,   E::ShutdownLimitReached,  Stopped>,
        Step<Draining,   E::StopRequested,         Stopped>
    > {};
    // clang-format on

    template <typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};
// NOLINTEND(readability-identifier-naming)

// MSM numbers source states by their first appearance in the table, then the states that are only targets.
constexpr std::array stagesByNumber
    = {ServingStage::Starting, ServingStage::Serving, ServingStage::Announcing, ServingStage::Draining, ServingStage::Stopped};

} // namespace

class ServingStateMachine::Impl : public msm::back::state_machine<Table>
{
};

std::string_view toString(ServingStage stage)
{
    switch (stage) {
    case ServingStage::Starting:
        return "starting";
    case ServingStage::Serving:
        return "serving";
    case ServingStage::Announcing:
        return "announcing";
    case ServingStage::Draining:
        return "draining";
    case ServingStage::Stopped:
        break;
    }
    return "stopped";
}

ServingStateMachine::ServingStateMachine()
    : impl_(std::make_unique<Impl>())
{
    impl_->start();
}

ServingStateMachine::~ServingStateMachine() = default;

ServingStage ServingStateMachine::stage() const
{
    return stagesByNumber.at(static_cast<std::size_t>(impl_->current_state()[0]));
}

bool ServingStateMachine::process(ServingEvent event)
{
    using E = ServingEvent;
    const ServingStage before = stage();
    switch (event) {
    case E::ConfigurationAccepted:
        impl_->process_event(On<E::ConfigurationAccepted>{});
        break;
    case E::StopRequested:
        impl_->process_event(On<E::StopRequested>{});
        break;
    case E::AnnouncementElapsed:
        impl_->process_event(On<E::AnnouncementElapsed>{});
        break;
    case E::LastRequestCompleted:
        impl_->process_event(On<E::LastRequestCompleted>{});
        break;
    case E::ShutdownLimitReached:
        impl_->process_event(On<E::ShutdownLimitReached>{});
        break;
    }
    return stage() != before;
}

} // namespace magnoliaspan
