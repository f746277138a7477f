/*
 * Visitor for std::visit, composed of one function object per alternative.
 */
#pragma once

namespace magnoliaspan {

/// \brief Overload set of the call operators of \p Handlers.
template <typename... Handlers>
struct Visitor : Handlers... {
    using Handlers::operator()...;
};

template <typename... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

} // namespace magnoliaspan
