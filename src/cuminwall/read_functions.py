"""The functions that a read may call: immutable or stable, without effect."""

_AGGREGATES = """
array_agg avg bit_and bit_or bool_and bool_or corr count covar_pop covar_samp
cume_dist dense_rank every first_value json_agg json_object_agg jsonb_agg
jsonb_object_agg lag last_value lead max min mode nth_value ntile percent_rank
percentile_cont percentile_disc rank regr_avgx regr_avgy regr_count
regr_intercept regr_r2 regr_slope regr_sxx regr_sxy regr_syy row_number stddev
stddev_pop stddev_samp string_agg sum var_pop var_samp variance xmlagg
"""
_NUMBERS = """
abs acos acosd asin asind atan atan2 atan2d atand cbrt ceil ceiling cos cosd
cosh cot cotd degrees div erf erfc exp factorial floor gcd lcm ln log log10
min_scale mod numeric pi power radians round scale sign sin sind sinh sqrt tan
tand tanh trim_scale trunc width_bucket
"""
_STRINGS = """
ascii bit_length btrim char_length character_length chr concat concat_ws
convert convert_from convert_to decode encode format initcap left length like
lower lpad ltrim md5 normalize notlike octet_length overlay parse_ident
position quote_ident quote_literal quote_nullable regexp_count regexp_instr
regexp_like regexp_match regexp_matches regexp_replace regexp_split_to_array
regexp_split_to_table regexp_substr repeat replace reverse right rpad rtrim
sha224 sha256 sha384 sha512 similar_escape similar_to_escape split_part
starts_with string_to_array string_to_table strpos substr substring text
to_ascii to_char to_hex to_number translate trim unistr upper get_bit get_byte
set_bit set_byte bit_count like_escape
"""
_TIMES = """
age date date_add date_bin date_part date_subtract date_trunc extract isfinite
justify_days justify_hours justify_interval make_date make_interval make_time
make_timestamp make_timestamptz now overlaps statement_timestamp timezone
to_date to_timestamp transaction_timestamp
"""
_ARRAYS_AND_RANGES = """
array_append array_cat array_dims array_fill array_length array_lower
array_ndims array_position array_positions array_prepend array_remove
array_replace array_to_string array_upper cardinality generate_series
generate_subscripts isempty lower_inc lower_inf multirange range_agg
range_merge trim_array unnest upper_inc upper_inf int4range int8range numrange
daterange tsrange tstzrange
"""
_DOCUMENTS = """
array_to_json json_array_elements json_array_elements_text json_array_length
json_build_array json_build_object json_each json_each_text json_extract_path
json_extract_path_text json_object json_object_keys json_populate_record
json_strip_nulls json_to_record json_to_recordset json_typeof
jsonb_array_elements jsonb_array_elements_text jsonb_array_length
jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text
jsonb_extract_path jsonb_extract_path_text jsonb_insert jsonb_object
jsonb_object_keys jsonb_path_exists jsonb_path_match jsonb_path_query
jsonb_path_query_array jsonb_path_query_first jsonb_pretty jsonb_set
jsonb_strip_nulls jsonb_to_record jsonb_to_recordset jsonb_typeof row_to_json
to_json to_jsonb phraseto_tsquery plainto_tsquery to_tsquery to_tsvector
ts_headline ts_rank ts_rank_cd websearch_to_tsquery
"""
_CATALOG = """
col_description current_database current_schema current_schemas
current_setting format_type has_column_privilege has_database_privilege
has_schema_privilege has_sequence_privilege has_table_privilege
obj_description pg_backend_pid pg_client_encoding pg_column_size
pg_conf_load_time pg_database_size pg_encoding_to_char pg_function_is_visible
pg_get_constraintdef pg_get_expr pg_get_functiondef pg_get_indexdef
pg_get_keywords pg_get_ruledef pg_get_serial_sequence pg_get_triggerdef
pg_get_userbyid pg_get_viewdef pg_indexes_size pg_is_in_recovery
pg_postmaster_start_time pg_relation_size pg_size_pretty pg_table_is_visible
pg_table_size pg_tablespace_location pg_total_relation_size
pg_type_is_visible pg_typeof shobj_description to_regclass to_regproc
to_regtype version
"""
_OTHER = """
coalesce greatest grouping hashtext least nullif num_nonnulls num_nulls
family host inet_same_family masklen network ntile uuid xmlcomment xmlconcat
"""

READ_FUNCTIONS = frozenset(
    " ".join(
        (
            _AGGREGATES,
            _NUMBERS,
            _STRINGS,
            _TIMES,
            _ARRAYS_AND_RANGES,
            _DOCUMENTS,
            _CATALOG,
            _OTHER,
        )
    ).split()
)

# They release what a session may hold, and a session here holds none.
UNLOCK_FUNCTIONS = frozenset(
    {
        "pg_advisory_unlock",
        "pg_advisory_unlock_all",
        "pg_advisory_unlock_shared",
    }
)

# They keep or read state of the server's session, which callers share.
SESSION_FUNCTIONS = frozenset(
    {
        "currval",
        "lastval",
        "pg_advisory_lock",
        "pg_advisory_lock_shared",
        "pg_try_advisory_lock",
        "pg_try_advisory_lock_shared",
    }
)
