#hd_fleet starts a small mesh of real processes, for scenarios(testing /) and benchmarks(tools /).
add_library(hd_fleet STATIC process.cc fleet.cc)
target_link_libraries(hd_fleet PUBLIC hd_wire)
add_executable(heatherdeck_scenario scenario_main.cc scenario.cc)
target_link_libraries(heatherdeck_scenario PRIVATE hd_fleet hd_model gflags)

#Each scenario file is one test against real processes, with its own range of 400 ports.
file(GLOB scenario_files CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/scenarios/*.yaml)
set(scenario_port 24000)
foreach(scenario_file ${scenario_files})
  get_filename_component(scenario_name ${scenario_file} NAME_WE)
  add_test(NAME scenario_${scenario_name}
    COMMAND heatherdeck_scenario --bin=${CMAKE_BINARY_DIR} --base_port=${scenario_port}
      --golden=${CMAKE_CURRENT_SOURCE_DIR}/golden/scenario_${scenario_name}.txt ${scenario_file})
  set_tests_properties(scenario_${scenario_name} PROPERTIES TIMEOUT 300)
  math(EXPR scenario_port "${scenario_port} + 400")
endforeach()

hd_test(stop_soak_test hd_fleet)
target_sources(stop_soak_test PRIVATE soak_callers.cc)
target_compile_definitions(stop_soak_test PRIVATE HD_BUILD_FOLDER="${CMAKE_BINARY_DIR}")
add_dependencies(stop_soak_test heatherdeckd heatherdeck heatherdeck_upstream)
# Its 27 processes and callers would slow down tests that run beside it.
set_tests_properties(stop_soak_test PROPERTIES RUN_SERIAL TRUE)

hd_test(booking_soak_test hd_fleet hd_node)
target_sources(booking_soak_test PRIVATE soak_deployment.cc mesh_relay.cc soak_disruptions.cc booking_upstream.cc booking_callers.cc)
target_compile_definitions(booking_soak_test PRIVATE HD_BUILD_FOLDER="${CMAKE_BINARY_DIR}")
add_dependencies(booking_soak_test heatherdeckd)
set_tests_properties(booking_soak_test PROPERTIES RUN_SERIAL TRUE)

hd_test(accounts_deployment_test hd_fleet)
target_sources(accounts_deployment_test PRIVATE soak_deployment.cc mesh_relay.cc)
target_compile_definitions(accounts_deployment_test PRIVATE HD_BUILD_FOLDER="${CMAKE_BINARY_DIR}")
add_dependencies(accounts_deployment_test heatherdeckd)

hd_test(broken_response_deployment_test hd_fleet hd_node)
target_sources(broken_response_deployment_test PRIVATE soak_deployment.cc mesh_relay.cc)
target_compile_definitions(broken_response_deployment_test PRIVATE HD_BUILD_FOLDER="${CMAKE_BINARY_DIR}")
add_dependencies(broken_response_deployment_test heatherdeckd)

hd_test(departure_deployment_test hd_fleet hd_node)
target_sources(departure_deployment_test PRIVATE soak_deployment.cc mesh_relay.cc)
target_compile_definitions(departure_deployment_test PRIVATE HD_BUILD_FOLDER="${CMAKE_BINARY_DIR}")
add_dependencies(departure_deployment_test heatherdeckd)

hd_test(propagation_soak_test hd_fleet)
target_sources(propagation_soak_test PRIVATE propagation_soak.cc soak_deployment.cc mesh_relay.cc)
target_compile_definitions(propagation_soak_test PRIVATE HD_BUILD_FOLDER="${CMAKE_BINARY_DIR}")
add_dependencies(propagation_soak_test heatherdeckd)
set_tests_properties(propagation_soak_test PROPERTIES RUN_SERIAL TRUE)
