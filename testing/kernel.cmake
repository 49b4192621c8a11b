hd_test(kernel_test hd_kernel)
