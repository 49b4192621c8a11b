hd_test(codec_test hd_wire)
hd_test(h2_test hd_wire)
hd_test(mesh_test hd_wire)
hd_test(directory_core_test hd_node)
