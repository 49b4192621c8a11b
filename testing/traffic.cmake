add_library(hd_rollout_simulation STATIC rollout_simulation.cc)
target_link_libraries(hd_rollout_simulation PUBLIC hd_control hd_traffic fmt::fmt)

add_library(hd_call_simulation STATIC call_simulation.cc)
target_link_libraries(hd_call_simulation PUBLIC hd_traffic fmt::fmt)

hd_test(traffic_core_test hd_traffic)
hd_test(rollout_core_test hd_control)
hd_test(route_table_test hd_traffic)
hd_test(upstream_choice_test hd_traffic)
hd_test(overload_test hd_call_simulation)
hd_test(version_judge_test hd_control)
hd_test(rollout_experiment_test hd_rollout_simulation)
