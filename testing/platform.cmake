hd_test(dialect_test hd_platform)
hd_test(operator_calls_test hd_platform hd_control)
target_compile_definitions(operator_calls_test PRIVATE HD_GOLDEN_FOLDER="${CMAKE_CURRENT_SOURCE_DIR}/golden/platform")
