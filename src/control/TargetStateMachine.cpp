/*
 * Transition table of the states of a target, in Boost.MSM.
 */
#include "control/TargetStateMachine.h"

// The table has more rows than the preprocessed headers of Boost.MPL allow.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

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

template <TargetEvent>
struct On {
};

template <TargetState>
struct In : msm::front::state<> {
};

// NOLINTBEGIN(readability-identifier-naming): names fixed by Boost.MSM
struct Table : msm::front::state_machine_def<Table> {
    using S = TargetState;
    using E = TargetEvent;
    using Unknown = In<S::Unknown>;
    using Cold = In<S::Cold>;
    using Warming = In<S::Warming>;
    using Warm = In<S::Warm>;
    using Leaving = In<S::Leaving>;
    using Lost = In<S::Lost>;
    using initial_state = Unknown;

    template <typename From, E Event, typename To>
    using Step = Row<From, On<Event>, To, none, none>;

    // clang-format off
    struct transition_table : mpl::vector<
        Step<Unknown, E::ReportedWarm,     Warm>,
        Step<Unknown, E::ReportedCold,     Cold>,
        Step<Unknown, E::BootIdChanged,    Cold>,
        Step<Unknown, E::ConnectFailed,    Lost>,
        Step<Unknown, E::ReportedLeaving,  Leaving>,
        Step<Cold,    E::BootIdChanged,    Cold>,
        Step<Cold,    E::ConnectionLost,   Unknown>,
        Step<Cold,    E::ConnectFailed,    Lost>,
        Step<Cold,    E::ReportedLeaving,  Leaving>,
        Step<Cold,    E::ColdStartEnded,   Warming>,
        Step<Warming, E::ReportedCold,     Cold>,
        Step<Warming, E::BootIdChanged,    Cold>,
        Step<Warming, E::ConnectionLost,   Unknown>,
        Step<Warming, E::ConnectFailed,    Lost>,
        Step<Warming, E::ReportedLeaving,  Leaving>,
        Step<Warming, E::FullShareReached, Warm>,
        Step<Warm,    E::ReportedCold,     Cold>,
        Step<Warm,    E::BootIdChanged,    Cold>,
        Step<Warm,    E::ConnectionLost,   Unknown>,
        Step<Warm,    E::ConnectFailed,    Lost>,
        Step<Warm,    E::ReportedLeaving,  Leaving>,
        Step<Leaving, E::Returned,         Unknown>,
        Step<Lost,    E::Connected,        Unknown>
    > {};
    // clang-format on

    // An event without a row does not change the state, for example one that confirms it.
    template <typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};
// NOLINTEND(readability-identifier-naming)

// MSM numbers source states by their first appearance in the table.
constexpr std::array statesByNumber
    = {TargetState::Unknown, TargetState::Cold, TargetState::Warming, TargetState::Warm, TargetState::Leaving, TargetState::Lost};

} // namespace

class TargetStateMachine::Impl : public msm::back::state_machine<Table>
{
};

std::string_view toString(TargetState state)
{
    switch (state) {
    case TargetState::Unknown:
        return "unknown";
    case TargetState::Cold:
        return "cold";
    case TargetState::Warming:
        return "warming";
    case TargetState::Warm:
        return "warm";
    case TargetState::Leaving:
        return "leaving";
    case TargetState::Lost:
        break;
    }
    return "lost";
}

TargetStateMachine::TargetStateMachine()
    : impl_(std::make_unique<Impl>())
{
    impl_->start();
}

TargetStateMachine::~TargetStateMachine() = default;
TargetStateMachine::TargetStateMachine(TargetStateMachine &&) noexcept = default;
TargetStateMachine &TargetStateMachine::operator=(TargetStateMachine &&) noexcept = default;

TargetState TargetStateMachine::state() const
{
    return statesByNumber.at(static_cast<std::size_t>(impl_->current_state()[0]));
}

bool TargetStateMachine::process(TargetEvent event)
{
    using E = TargetEvent;
    const TargetState before = state();
    switch (event) {
    case E::ReportedWarm:
        impl_->process_event(On<E::ReportedWarm>{});
        break;
    case E::ReportedCold:
        impl_->process_event(On<E::ReportedCold>{});
        break;
    case E::BootIdChanged:
        impl_->process_event(On<E::BootIdChanged>{});
        break;
    case E::ConnectionLost:
        impl_->process_event(On<E::ConnectionLost>{});
        break;
    case E::ConnectFailed:
        impl_->process_event(On<E::ConnectFailed>{});
        break;
    case E::Connected:
        impl_->process_event(On<E::Connected>{});
        break;
    case E::ReportedLeaving:
        impl_->process_event(On<E::ReportedLeaving>{});
        break;
    case E::Returned:
        impl_->process_event(On<E::Returned>{});
        break;
    case E::ColdStartEnded:
        impl_->process_event(On<E::ColdStartEnded>{});
        break;
    case E::FullShareReached:
        impl_->process_event(On<E::FullShareReached>{});
        break;
    }
    return state() != before;
}

} // namespace magnoliaspan
