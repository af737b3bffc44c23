# Runs the adapter on transcript.in and compares its output with transcript.out, then checks its exit code and error
# message for malformed lines.
execute_process(COMMAND ${ADAPTER} INPUT_FILE ${DIR}/transcript.in OUTPUT_VARIABLE output ERROR_VARIABLE error_output
                RESULT_VARIABLE exit_code)
file(READ ${DIR}/transcript.out expected_output)
if(NOT exit_code EQUAL 0 OR NOT output STREQUAL expected_output)
  message(FATAL_ERROR "exit code ${exit_code}, error output: ${error_output}\n"
                      "output:\n${output}\nexpected:\n${expected_output}")
endif()
foreach(expected_error "line 2: NONSENSE: no instance selected by CONTEXT" "line 1: MARK: moment is not a valid number")
  if(expected_error MATCHES "NONSENSE")
    file(WRITE ${CMAKE_CURRENT_BINARY_DIR}/bad.in "MARK\t1\t1\nNONSENSE\n")
  else()
    file(WRITE ${CMAKE_CURRENT_BINARY_DIR}/bad.in "MARK\tsoon\t1\n")
  endif()
  execute_process(COMMAND ${ADAPTER} INPUT_FILE ${CMAKE_CURRENT_BINARY_DIR}/bad.in OUTPUT_QUIET
                  ERROR_VARIABLE error_output RESULT_VARIABLE exit_code)
  if(exit_code EQUAL 0 OR NOT error_output STREQUAL "${expected_error}\n")
    message(FATAL_ERROR "exit code ${exit_code}, error output: ${error_output}, expected: ${expected_error}")
  endif()
endforeach()
