hd_test(codec_test hd_wire)
hd_test(h2_test hd_wire)
hd_test(mesh_test hd_wire)
hd_test(directory_core_test hd_node)
hd_test(directory_service_test hd_node)

# The sources of the fuzz targets are compiled and linted in every build, so that they stay up to date.
add_library(fuzz_sources OBJECT fuzz/decode_fuzz.cc fuzz/h2_session_fuzz.cc)
target_compile_definitions(fuzz_sources PRIVATE HD_FUZZED_MESSAGE=gossip_message)
target_link_libraries(fuzz_sources PRIVATE hd_wire)

# Fuzz targets need clang; they are built on request only and not run by CTest.
if(HD_FUZZ)
  target_compile_options(hd_wire PRIVATE -fsanitize=fuzzer-no-link,address)
  function(hd_fuzz name source)
    add_executable(fuzz_${name} fuzz/${source})
    target_compile_options(fuzz_${name} PRIVATE -fsanitize=fuzzer,address)
    target_link_options(fuzz_${name} PRIVATE -fsanitize=fuzzer,address)
    target_link_libraries(fuzz_${name} PRIVATE hd_wire)
    target_compile_definitions(fuzz_${name} PRIVATE ${ARGN})
  endfunction()
  foreach(message raft_message log_entry node_message control_message ledger_command command_result document_state
                  document_delta evidence_report gossip_message)
    hd_fuzz(${message} decode_fuzz.cc HD_FUZZED_MESSAGE=${message})
  endforeach()
  hd_fuzz(voters decode_fuzz.cc "HD_FUZZED_MESSAGE=std::vector<raft_member>")
  hd_fuzz(members decode_fuzz.cc "HD_FUZZED_MESSAGE=std::vector<member_record>")
  hd_fuzz(h2_session h2_session_fuzz.cc)
endif()
