/// @file
/// Selects the services of a process by the roles in its settings. Called by `main`.
///
///     kernel k;
///     BOOST_LEAF_CHECK(add_services(k, s));
///     return k.run();
#pragma once

#include "kernel/kernel.h"
#include "model/settings.h"

namespace heatherdeck {

/// Adds the services that every process has and those of each enabled role.
/// @return the error of the first service whose settings are invalid.
result<void> add_services(kernel& k, const settings& s);

}  // namespace heatherdeck
