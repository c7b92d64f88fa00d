/// Declares plain data types with the derives that nearly all of them share:
/// `Clone`, `Debug`, `PartialEq`, `Serialize` and `Deserialize`.
///
/// Derives that only some types need are written on the type itself.
#[macro_export]
macro_rules! plain {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )+
    };
}
