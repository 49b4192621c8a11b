hd_test(codec_test hd_wire)
