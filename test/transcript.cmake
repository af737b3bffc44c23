# Runs the adapter on a transcript of our own, then on malformed lines.
execute_process(COMMAND ${ADAPTER} INPUT_FILE ${DIR}/transcript.in OUTPUT_VARIABLE got ERROR_VARIABLE said
                RESULT_VARIABLE code)
file(READ ${DIR}/transcript.out wanted)
if(NOT code EQUAL 0 OR NOT got STREQUAL wanted)
  message(FATAL_ERROR "exit ${code}, said: ${said}\ngot:\n${got}\nwanted:\n${wanted}")
endif()
foreach(line "line 2: NONSENSE: no CONTEXT names its instance" "line 1: MARK: moment is no such number")
  if(line MATCHES "NONSENSE")
    file(WRITE ${CMAKE_CURRENT_BINARY_DIR}/bad.in "MARK\t1\t1\nNONSENSE\n")
  else()
    file(WRITE ${CMAKE_CURRENT_BINARY_DIR}/bad.in "MARK\tsoon\t1\n")
  endif()
  execute_process(COMMAND ${ADAPTER} INPUT_FILE ${CMAKE_CURRENT_BINARY_DIR}/bad.in OUTPUT_QUIET ERROR_VARIABLE said
                  RESULT_VARIABLE code)
  if(code EQUAL 0 OR NOT said STREQUAL "${line}\n")
    message(FATAL_ERROR "exit ${code}, said: ${said}, wanted: ${line}")
  endif()
endforeach()
