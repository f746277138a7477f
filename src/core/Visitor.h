/*
 * Part core: a visitor for std::visit, put together from one function for each alternative.
 */
#pragma once

namespace magnoliaspan {

/// \brief Overload set of \p Handlers.
template <typename... Handlers>
struct Visitor : Handlers... {
    using Handlers::operator()...;
};

template <typename... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

} // namespace magnoliaspan
