hd_test(kernel_test hd_kernel)
hd_test(line_output_test hd_kernel)
