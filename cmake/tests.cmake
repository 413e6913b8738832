set(LIBRARIES base codec conf wire replog state fleet route request rollout placement
	report back front platform cli load
	loop control entry gateway hub app)
foreach(lib ${LIBRARIES})
	ac_unit_tests(${lib})
endforeach()

# Stand-ins of what the system talks to: one program, chosen by settings.
file(GLOB sources CONFIGURE_DEPENDS test/standin/*.c)
if(sources)
	add_executable(standin ${sources})
	target_link_libraries(standin base ${GLIB} ${EVENT}
		PkgConfig::jansson PkgConfig::libxxhash)
	set_target_properties(standin PROPERTIES
		RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/test)
endif()

# Clients that don't behave.
add_executable(crowd test/crowd/crowd.c)
set_target_properties(crowd PROPERTIES
	RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/test)

# Randomised runs and failures of real processes (proof), and measurements
# (bench). Both take --list and --run NAME --seed N.
foreach(folder test/proof bench)
	get_filename_component(program ${folder} NAME)
	file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.c)
	file(GLOB common CONFIGURE_DEPENDS test/common/*.c)
	add_executable(${program} ${common} ${sources})
	target_include_directories(${program} PRIVATE test .)
	target_link_libraries(${program} ${LIBRARIES})
	set_target_properties(${program} PROPERTIES
		RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/test)
endforeach()

# Faults from outside at real processes. The sanitisers come first in a
# process, so there the clock and the disk of it are left alone.
file(GLOB sources CONFIGURE_DEPENDS test/soak/*.c)
list(FILTER sources EXCLUDE REGEX shim.c$)
add_executable(soak test/common/relay.c ${sources})
target_include_directories(soak PRIVATE test test/soak)
target_link_libraries(soak loop back base ${GLIB} ${EVENT}
	PkgConfig::jansson PkgConfig::argtable2)
set_target_properties(soak PROPERTIES
	RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/test)
if(NOT SANITIZE AND NOT FUZZ)
	add_library(soak_shim MODULE test/soak/shim.c)
	target_link_libraries(soak_shim ${CMAKE_DL_LIBS})
	set_target_properties(soak_shim PROPERTIES
		LIBRARY_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/test)
endif()

# A partition of one process from others.
add_library(cut_shim MODULE test/cut/cut.c)
target_compile_options(cut_shim PRIVATE -fno-sanitize=all)
target_link_options(cut_shim PRIVATE -fno-sanitize=all)
target_link_libraries(cut_shim ${CMAKE_DL_LIBS})
set_target_properties(cut_shim PROPERTIES
	LIBRARY_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/test)

# A proof of the fixed list that CI runs, with its seed.
function(ac_proof name seed)
	add_test(NAME proof_${name}_${seed}
		COMMAND proof --run ${name} --seed ${seed}
		WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
endfunction()
include(cmake/proofs.cmake)

# Scripted runs: the output of NAME.sh must equal NAME.expected.
file(GLOB scripts CONFIGURE_DEPENDS test/script/*.sh)
foreach(script ${scripts})
	get_filename_component(name ${script} NAME_WE)
	add_test(NAME script_${name}
		COMMAND ${CMAKE_SOURCE_DIR}/tools/run_script.sh
			${CMAKE_BINARY_DIR} ${script}
		WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
	# Crowds of clients run apart from other load.
	if(name MATCHES "^crowd_")
		set_tests_properties(script_${name} PROPERTIES RUN_SERIAL ON)
	endif()
endforeach()

if(FUZZ)
	add_executable(fuzz test/fuzz/fuzz.c)
	target_link_libraries(fuzz hub platform fleet wire replog request rollout
		state conf)
	target_link_options(fuzz PRIVATE -fsanitize=fuzzer)
	add_executable(fuzz_http test/fuzz/fuzz_http.c)
	target_link_libraries(fuzz_http platform front back base)
	target_link_options(fuzz_http PRIVATE -fsanitize=fuzzer)
endif()
