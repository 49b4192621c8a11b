/// @file
/// Which services a process runs, by the roles in its settings.
///
///     kernel k;
///     BOOST_LEAF_CHECK(add_services(k, s));
///     return k.run();
#pragma once

#include "kernel/kernel.h"
#include "model/settings.h"

namespace heatherdeck {

/// Adds the services of every role that the settings turn on.
result<void> add_services(kernel& k, const settings& s);

}  // namespace heatherdeck
